package org.guavagw.internal.rating;

import com.google.common.base.Ticker;
import com.google.common.util.concurrent.ThreadFactoryBuilder;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.OptionalDouble;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.DoubleConsumer;
import org.guavagw.internal.cascade.RatingState;
import org.guavagw.platform.AnswerSample;
import org.guavagw.platform.PlatformFailure;
import org.guavagw.platform.RatingService;

/**
 * Requests ratings from the platform's rating service with a timeout, on its own threads.
 *
 * <p>After {@value #FAILURES_TO_PAUSE} consecutive failures, {@link #rate} returns empty at once
 * for {@link #PAUSE}, so that callers do not wait for a service that is down. Thread-safe.
 */
public final class TimedAnswerRater implements AnswerRater, AutoCloseable {
  private static final int FAILURES_TO_PAUSE = 3;
  private static final Duration PAUSE = Duration.ofSeconds(5);
  private static final int THREADS = 8;
  private static final int MAX_QUEUED = 256;
  private static final long IDLE_SECONDS = 30;

  private final RatingService service;
  private final Ticker monotonic;
  private final ExecutorService threads;
  private final AtomicInteger failures = new AtomicInteger();
  private final AtomicLong pausedUntilNanos;

  /** Creates a rater that uses the given rating service. */
  public TimedAnswerRater(RatingService service, Ticker monotonic) {
    this.service = service;
    this.monotonic = monotonic;
    this.pausedUntilNanos = new AtomicLong(monotonic.read());
    ThreadPoolExecutor pool =
        new ThreadPoolExecutor(
            THREADS,
            THREADS,
            IDLE_SECONDS,
            TimeUnit.SECONDS,
            new ArrayBlockingQueue<>(MAX_QUEUED),
            new ThreadFactoryBuilder().setNameFormat("rating-%d").setDaemon(true).build());
    pool.allowCoreThreadTimeOut(true);
    this.threads = pool;
  }

  @Override
  public OptionalDouble rate(AnswerSample sample, Duration timeout) {
    if (state() == RatingState.UNAVAILABLE) {
      return OptionalDouble.empty();
    }
    try {
      Future<Either<PlatformFailure, Double>> rating = threads.submit(() -> service.rate(sample));
      return recordResult(rating.get(Math.max(1, timeout.toMillis()), TimeUnit.MILLISECONDS));
    } catch (RejectedExecutionException | TimeoutException | ExecutionException e) {
      return recordResult(Either.left(PlatformFailure.unknown("no rating in time")));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return OptionalDouble.empty();
    }
  }

  @Override
  public void rateLater(AnswerSample sample, DoubleConsumer listener) {
    try {
      threads.execute(() -> recordResult(service.rate(sample)).ifPresent(listener));
    } catch (RejectedExecutionException e) {
      failures.incrementAndGet();
    }
  }

  @Override
  public RatingState state() {
    boolean paused = pausedUntilNanos.get() - monotonic.read() > 0;
    return paused ? RatingState.UNAVAILABLE : RatingState.AVAILABLE;
  }

  @Override
  public void close() {
    threads.shutdownNow();
  }

  private OptionalDouble recordResult(Either<PlatformFailure, Double> rating) {
    if (rating.isRight()) {
      failures.set(0);
      return OptionalDouble.of(rating.get());
    }
    if (failures.incrementAndGet() >= FAILURES_TO_PAUSE) {
      failures.set(0);
      pausedUntilNanos.set(monotonic.read() + PAUSE.toNanos());
    }
    return OptionalDouble.empty();
  }
}
