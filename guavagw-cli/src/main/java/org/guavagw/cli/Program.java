package org.guavagw.cli;

/** A program or subcommand of the command line. Implementations are stateless. */
@FunctionalInterface
public interface Program {
  /** Runs the program and returns its exit code. */
  int run(String... args);
}
