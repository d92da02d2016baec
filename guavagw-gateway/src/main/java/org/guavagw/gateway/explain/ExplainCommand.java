package org.guavagw.gateway.explain;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;

/**
 * The command {@code guavagw explain}: merges the log lines of several entries about one request.
 */
public final class ExplainCommand {
  private static final int EXIT_NOT_FOUND = 1;
  private static final int EXIT_USAGE = 2;

  @Argument(
      index = 0,
      required = true,
      metaVar = "ID",
      usage = "id that the caller gave the request")
  private String id;

  @Argument(index = 1, required = true, multiValued = true, metaVar = "LOG", usage = "log files")
  private List<String> logs = new ArrayList<>();

  private ExplainCommand() {}

  /** Runs the command and returns its exit code: 1 if no line has the id, 2 for a usage error. */
  public static int run(String... args) {
    return run(System.out, System.err, args);
  }

  /** Runs the command with the given streams instead of those of the process. */
  public static int run(PrintStream out, PrintStream err, String... args) {
    ExplainCommand command = new ExplainCommand();
    CmdLineParser parser = new CmdLineParser(command);
    try {
      parser.parseArgument(args);
      RequestTimeline timeline = RequestTimeline.of(command.id, command.read());
      if (timeline.isEmpty()) {
        err.println("guavagw explain: no log line has the id " + command.id);
        return EXIT_NOT_FOUND;
      }
      out.print(timeline.text());
      return 0;
    } catch (CmdLineException | IOException e) {
      err.println("guavagw explain: " + e.getMessage());
      err.println("usage: guavagw explain ID LOG...");
      return EXIT_USAGE;
    }
  }

  private List<LogLine> read() throws IOException {
    List<LogLine> lines = new ArrayList<>();
    for (String log : logs) {
      try (Stream<String> text = Files.lines(Path.of(log), StandardCharsets.UTF_8)) {
        text.flatMap(line -> LogLine.parse(line).stream()).forEach(lines::add);
      }
    }
    return lines;
  }
}
