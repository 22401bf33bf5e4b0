/// @file
/// Entry point of the operator command line.

/// @return the exit code.
int main() { return 0; }
