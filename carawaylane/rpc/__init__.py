"""Protocols between nodes, in protobuf over gRPC, and their codecs."""
