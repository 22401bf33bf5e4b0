/// @file
/// Entry point of the daemon.

/// @return the exit code.
int main() { return 0; }
