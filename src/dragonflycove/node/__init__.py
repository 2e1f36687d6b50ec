"""The daemon: tasks that own sockets and carry out what the decisions say."""
