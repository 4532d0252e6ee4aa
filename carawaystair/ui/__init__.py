"""The command line tool ``carawaystair``; it speaks only public HTTP."""
