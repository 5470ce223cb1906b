"""Generated from idl/node.thrift."""
