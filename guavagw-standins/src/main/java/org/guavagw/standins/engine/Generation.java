package org.guavagw.standins.engine;

import io.jooby.Context;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.guavagw.config.VersionRef;
import org.guavagw.standins.history.CallTag;
import org.guavagw.standins.http.NettyChannels;

/**
 * Processing of one request by an engine: queue, prefill, output of tokens, end. Confined to the
 * event loop of its connection; {@link #onSlotGranted}, {@link #cancel} and {@link #fail} may be
 * called from any thread.
 */
@SuppressWarnings("FutureReturnValueIgnored")
final class Generation implements ContinuousBatch.Job {
  private static final long KEEP_ALIVE_INTERVAL_MS = 500;

  private final Engine engine;
  private final GenerationRequest request;
  private final Context ctx;
  private final Channel channel;
  private final EventLoop eventLoop;
  private final long arrivedNanos = System.nanoTime();
  private final ChannelFutureListener closeListener = f -> onConnectionClosed();
  private AnswerIdentity identity;
  private AnswerWriter writer;
  private double quality;
  private Optional<AnswerFault> fault = Optional.empty();
  private Future<?> keepAlive;
  private int logIndex;
  private int nextToken;
  private Optional<ContinuousBatch.JobStart> start = Optional.empty();
  private boolean ended;

  Generation(Engine engine, GenerationRequest request, Context ctx) {
    this.engine = engine;
    this.request = request;
    this.ctx = ctx;
    this.channel = NettyChannels.of(ctx);
    this.eventLoop = channel.eventLoop();
    this.nextToken = request.resumeOffset();
  }

  @Override
  public VersionRef version() {
    return request.version();
  }

  @Override
  public int priority() {
    return request.priority();
  }

  /** Admits or refuses the request. Must be called on the event loop. */
  Context submit() {
    Optional<EngineRefusal> refusal = admit();
    setStateHeaders();
    if (refusal.isPresent()) {
      return refusal.get().send(ctx);
    }
    fault = engine.faults().take();
    identity = identity();
    writer = new ConnectionCheckingAnswerWriter(createWriter(), channel, engine.connections());
    writer.open();
    channel.closeFuture().addListener(closeListener);
    keepAlive =
        eventLoop.scheduleAtFixedRate(
            writer::keepAlive,
            KEEP_ALIVE_INTERVAL_MS,
            KEEP_ALIVE_INTERVAL_MS,
            TimeUnit.MILLISECONDS);
    request.deadline().ifPresent(d -> schedule(this::onDeadline, d));
    return ctx;
  }

  @Override
  public void onSlotGranted(ContinuousBatch.JobStart jobStart) {
    eventLoop.execute(() -> begin(jobStart));
  }

  /** Cancels the request in any state; has no effect once it has ended. */
  void cancel() {
    eventLoop.execute(() -> stop(Outcome.CANCELLED));
  }

  /** Ends the request because the engine crashes. */
  void fail() {
    eventLoop.execute(() -> stop(Outcome.FAILED));
  }

  private Optional<EngineRefusal> admit() {
    if (engine.faults().refusing()) {
      return Optional.of(EngineRefusal.UNAVAILABLE);
    }
    if (request.resumeOffset() > 0 && !engine.requests().canResume(request.requestId())) {
      return Optional.of(EngineRefusal.RESUME_UNKNOWN);
    }
    Optional<EngineRefusal> refusal = engine.batch().admit(this);
    if (refusal.filter(EngineRefusal.COLD_SLOTS_TAKEN::equals).isPresent()) {
      engine.log().recordOverload(engine.settings().name(), request.requestId());
    }
    if (refusal.isEmpty()) {
      engine.requests().begin(request.requestId(), this).ifPresent(Generation::cancel);
    }
    return refusal;
  }

  private void setStateHeaders() {
    LoadReport load = engine.batch().currentReport();
    ctx.setResponseHeader("X-Request-Id", request.requestId());
    ctx.setResponseHeader("X-Boot-Id", load.bootId());
    ctx.setResponseHeader("X-Engine-State", load.state());
    ctx.setResponseHeader("X-Load", load.header());
  }

  private AnswerIdentity identity() {
    String previous = engine.requests().replaceNewest(request.requestId());
    boolean crossed = fault.filter(f -> f.kind() == AnswerFault.Kind.CROSSED).isPresent();
    return AnswerIdentity.of(request, crossed ? previous : request.requestId());
  }

  private AnswerWriter createWriter() {
    return engine.faults().failing() ? new FailingAnswerWriter(ctx) : identity.writer(request, ctx);
  }

  private void begin(ContinuousBatch.JobStart jobStart) {
    if (ended) {
      engine.batch().release(jobStart, false);
      return;
    }
    start = Optional.of(jobStart);
    logIndex = engine.log().recordStart(execution(jobStart));
    quality =
        engine.faults().quality(engine.quality().quality(request.version(), request.prompt()));
    int uncachedBlocks = engine.cache().store(Prompts.blockHashes(request.prompt()));
    Duration prefill = engine.settings().batch().prefillPerBlock().multipliedBy(uncachedBlocks);
    schedule(this::writeTokens, engine.faults().scaleDelay(prefill).plus(engine.faults().delay()));
  }

  private void writeTokens() {
    Duration tokenDelay = Duration.ZERO;
    while (!ended && tokenDelay.isZero()) {
      writeNextToken();
      tokenDelay = tokenDelay();
    }
    if (ended) {
      return;
    }
    writer.flush();
    schedule(this::writeTokens, tokenDelay);
  }

  private void writeNextToken() {
    if (fault.isPresent() && nextToken - request.resumeOffset() >= fault.get().afterChunks()) {
      applyFault(fault.get().kind());
    }
    if (ended) {
      return;
    }
    if (nextToken >= request.maxTokens()) {
      finish();
      return;
    }
    writer.token(nextToken, identity.token(nextToken, quality));
    nextToken++;
  }

  private void applyFault(AnswerFault.Kind kind) {
    writer.flush();
    fault = Optional.empty();
    switch (kind) {
      case RESET -> {
        end(Outcome.FAILED);
        NettyChannels.reset(channel);
      }
      case HALF_ANSWER -> {
        end(Outcome.FAILED);
        writer.close();
      }
      case SILENCE -> engine.connections().silence(channel);
      default -> {
        return;
      }
    }
  }

  private void finish() {
    end(Outcome.FINISHED);
    writer.finish(Usage.of(request.promptTokens(), nextToken));
  }

  private void stop(Outcome outcome) {
    if (ended) {
      return;
    }
    end(outcome);
    writer.close();
  }

  private void onConnectionClosed() {
    if (ended || engine.connections().isSilent(channel)) {
      return;
    }
    engine.batch().countDisconnect();
    stop(Outcome.CANCELLED);
  }

  private void onDeadline() {
    if (start.isPresent() || ended || !engine.batch().removeFromQueue(this)) {
      return;
    }
    end(Outcome.CANCELLED);
    writer.refuse(EngineRefusal.DEADLINE_PASSED);
  }

  private void end(Outcome outcome) {
    ended = true;
    keepAlive.cancel(false);
    channel.closeFuture().removeListener(closeListener);
    engine.requests().end(request.requestId(), this);
    if (start.isEmpty()) {
      engine.batch().removeFromQueue(this);
      return;
    }
    engine.log().recordEnd(logIndex, Instant.now(), outcome);
    engine.batch().release(start.get(), outcome == Outcome.FINISHED);
  }

  private Duration tokenDelay() {
    return engine
        .faults()
        .scaleDelay(engine.settings().batch().timePerToken(engine.batch().running()));
  }

  private void schedule(Runnable task, Duration after) {
    if (after.isZero()) {
      task.run();
      return;
    }
    eventLoop.schedule(task, after.toNanos(), TimeUnit.NANOSECONDS);
  }

  private Execution execution(ContinuousBatch.JobStart jobStart) {
    return new Execution(
        engine.settings().name(),
        request.requestId(),
        request.idempotencyKey(),
        request.version(),
        CallTag.find(request.prompt()),
        request.resumeOffset(),
        Duration.ofNanos(System.nanoTime() - arrivedNanos),
        Instant.now(),
        Optional.empty(),
        Outcome.RUNNING,
        jobStart.cold(),
        jobStart.concurrency(),
        engine.settings().coldStart().coldSlots());
  }
}
