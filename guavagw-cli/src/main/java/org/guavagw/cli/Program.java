package org.guavagw.cli;

/** One of the programs behind the command line. Implementations are stateless. */
@FunctionalInterface
public interface Program {
  /** Runs the program and gives its exit code. */
  int run(String... args);
}
