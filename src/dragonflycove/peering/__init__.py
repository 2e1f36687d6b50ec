"""Protocol between nodes: CBOR messages over websockets."""
