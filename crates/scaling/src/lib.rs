//! How many targets a service has in each data centre, and of which kind.
