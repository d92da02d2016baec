package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the seconds since the start. Thread-safe. */
final class Record implements AutoCloseable {
  private final PrintWriter file;
  private final long startNanos = System.nanoTime();

  Record(Path path) throws IOException {
    file = new PrintWriter(Files.newBufferedWriter(path));
  }

  double seconds() {
    return (System.nanoTime() - startNanos) / 1e9;
  }

  synchronized void line(String format, Object... values) {
    file.printf(Locale.ROOT, "%8.3f ", seconds());
    file.printf(Locale.ROOT, format + "%n", values);
    file.flush();
  }

  /** Writes a line that is also shown to whoever runs the case. */
  void result(String format, Object... values) {
    line(format, values);
    System.out.printf(Locale.ROOT, format + "%n", values);
  }

  @Override
  public void close() {
    file.close();
  }
}
