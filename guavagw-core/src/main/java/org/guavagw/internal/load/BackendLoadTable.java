package org.guavagw.internal.load;

import java.util.Optional;

/** The newest load reports of the backend servers of this entry's data centre. Thread-safe. */
public interface BackendLoadTable {
  /** Returns the newest report of a backend server; empty if there is no recent one. */
  Optional<LoadReport> load(String backendServer);
}
