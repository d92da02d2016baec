package org.guavagw.cli.entry;

import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import okhttp3.OkHttpClient;
import org.guavagw.Entry;
import org.guavagw.platform.HttpPlatform;
import org.guavagw.platform.Platform;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.spi.OptionHandler;

/** Runs one entry until the process is terminated, then shuts it down gracefully. Stateless. */
public final class EntryCommand {
  private static final int EXIT_CLEAN = 0;
  private static final int EXIT_USAGE = 2;
  private static final Duration PLATFORM_TIMEOUT = Duration.ofSeconds(2);

  private EntryCommand() {}

  /** Runs an entry and returns the exit code. */
  public static int run(String... args) {
    return run(System.getenv(), System.err, args);
  }

  static int run(Map<String, String> environment, PrintStream err, String... args) {
    EntryOptions options = new EntryOptions();
    CmdLineParser parser = new CmdLineParser(options);
    List<String> flags = new ArrayList<>();
    for (OptionHandler<?> handler : parser.getOptions()) {
      flags.add(handler.option.toString());
    }
    List<String> allArguments = new ArrayList<>(EntryOptions.argumentsOf(environment, flags));
    allArguments.addAll(Arrays.asList(args));
    try {
      parser.parseArgument(allArguments);
    } catch (CmdLineException e) {
      err.println(e.getMessage());
      return EXIT_USAGE;
    }
    List<String> errors = options.errors();
    errors.forEach(err::println);
    return errors.isEmpty() ? runUntilStopped(options) : EXIT_USAGE;
  }

  private static int runUntilStopped(EntryOptions options) {
    OkHttpClient http = new OkHttpClient.Builder().callTimeout(PLATFORM_TIMEOUT).build();
    Entry entry = Entry.start(options.toSettings(), platformOf(options, http));
    Runtime.getRuntime().addShutdownHook(new Thread(entry::shutDown, "shutdown"));
    try {
      new CountDownLatch(1).await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return EXIT_CLEAN;
  }

  private static Platform platformOf(EntryOptions options, OkHttpClient http) {
    HttpPlatform platform = new HttpPlatform(http);
    return new Platform(
        platform.tableService(options.tableUrl()),
        platform.objectStore(options.objectUrl()),
        platform.vmList(options.vmListUrl()),
        platform.ratingService(options.ratingUrl()),
        platform.weightStore(options.weightsUrl()));
  }
}
