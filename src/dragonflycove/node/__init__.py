"""The node daemon: tasks that own sockets and carry out the decision modules' effects."""
