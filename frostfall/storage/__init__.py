"""Write-ahead log of operations and metadata in segments, without I/O; `net.log_writer` executes it."""
