"""Non-idempotent operations of a running agent: each is executed at most once across all its attempts."""

from frostfall.net.operations.context import OperationContext
from frostfall.net.operations.coordinator import OperationCoordinator
from frostfall.net.operations.interfaces import RequestHandler, WaitingClient

__all__ = ["OperationContext", "OperationCoordinator", "RequestHandler", "WaitingClient"]
