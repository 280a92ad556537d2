"""The callers' side: HTTP in, a worker's answer or an honest verdict out."""
