"""The inner protocol between nodes: websockets with CBOR."""
