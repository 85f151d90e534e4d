"""Write-ahead log of operations and metadata in segments, decided without I/O; `net.log_writer` drives it."""
