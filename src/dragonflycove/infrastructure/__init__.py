"""HTTP clients of the services that nodes depend on: log service, host list, weight store."""
