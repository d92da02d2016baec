import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: what was sent, answered and run, with the time since its start. */
final class Record implements AutoCloseable {
  private final PrintWriter out;
  private final long startNanos = System.nanoTime();

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file), true);
  }

  synchronized void say(String format, Object... values) {
    double seconds = (System.nanoTime() - startNanos) / 1e9;
    out.printf("%8.3f  %s%n", seconds, String.format(format, values));
  }

  /** Adds what the workers said: which requests they began and ended. */
  void addRuns(Path file) throws IOException {
    say("what the workers ran (worker, request, time of day in ms):");
    for (String line : Files.readAllLines(file)) {
      out.println("          " + line);
    }
  }

  @Override
  public void close() {
    out.close();
  }
}
