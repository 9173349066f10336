//! The control role: drives agreement, storage and state with threads and sockets.
