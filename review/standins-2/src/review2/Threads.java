package review2;

/** Threads that do not keep the process running. Stateless. */
final class Threads {
  private static final long STACK_BYTES = 256 * 1024;

  private Threads() {}

  static Thread daemon(Runnable task) {
    Thread thread = new Thread(null, task, "stand-in", STACK_BYTES);
    thread.setDaemon(true);
    return thread;
  }

  static void start(Runnable task) {
    daemon(task).start();
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
