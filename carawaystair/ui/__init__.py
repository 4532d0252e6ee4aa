"""The command line tool ``carawaystair``, a client of the HTTP APIs."""
