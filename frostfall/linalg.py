"""The one piece of linear algebra that the test needs; it decides nothing."""

import math


def second_eigenvalue(matrix: list[list[float]]) -> float:
    """Second largest eigenvalue magnitude of a symmetric stochastic matrix, by power iteration on W - J."""
    vector, size = [math.sin(1.0 + i) for i in range(len(matrix))], 0.0
    for _ in range(300):
        mean = sum(vector) / len(matrix)
        vector = [sum(w * (v - mean) for w, v in zip(row, vector, strict=True)) for row in matrix]
        size = math.sqrt(sum(v * v for v in vector))
        if size < 1e-12:
            return 0.0
        vector = [v / size for v in vector]
    return min(size, 1.0)
