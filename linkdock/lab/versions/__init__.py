"""Two versions of the program on one folder, as one sender and in one cluster: whether they understand each other."""
