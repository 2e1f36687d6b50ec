"""Choice of the backend server for each request, from the load and prefix caches of engines."""
