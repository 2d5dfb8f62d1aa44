"""What is spoken: RESP2 with clients, HTTP/1.1 with backend servers and discovery."""
