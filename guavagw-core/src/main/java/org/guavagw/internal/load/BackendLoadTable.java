package org.guavagw.internal.load;

import java.util.Optional;

/** The newest load reports of the backend servers of this entry's data centre. Thread-safe. */
public interface BackendLoadTable {
  /** The newest report of a backend server; empty if none came lately. */
  Optional<LoadReport> load(String backendServer);
}
