package org.guavagw.cli.entry;

/** Runs one entry until it is told to stop. Stateless. */
public final class EntryCommand {
  private static final int EXIT_USAGE = 2;

  private EntryCommand() {}

  /** Runs an entry and gives the exit code. */
  public static int run(String... args) {
    System.err.println("the entry needs a platform; see the demo for one on stand-ins");
    return EXIT_USAGE;
  }
}
