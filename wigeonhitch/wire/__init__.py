"""Codec of the frames between daemons: thrift structs in the compact protocol.

Public names: `wigeonhitch.wire.codec.encode`, `wigeonhitch.wire.codec.decode`
and `wigeonhitch.wire.codec.Registry`.
"""

__all__ = ["codec"]
