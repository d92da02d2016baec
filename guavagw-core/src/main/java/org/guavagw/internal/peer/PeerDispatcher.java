package org.guavagw.internal.peer;

import com.google.common.flogger.FluentLogger;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;

/** Calls the handlers of received messages on the executor. Thread-safe. */
final class PeerDispatcher {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final PeerMessageRegistry registry;
  private final PeerCodec codec;
  private final PeerMetrics peerMetrics;
  private final Executor executor;
  private final Map<Class<?>, PeerMessageHandler<PeerMessage>> messageHandlers =
      new ConcurrentHashMap<>();
  private final Map<Class<?>, PeerRequestHandler<PeerMessage>> requestHandlers =
      new ConcurrentHashMap<>();

  PeerDispatcher(
      PeerMessageRegistry registry, PeerCodec codec, PeerMetrics peerMetrics, Executor executor) {
    this.registry = registry;
    this.codec = codec;
    this.peerMetrics = peerMetrics;
    this.executor = executor;
  }

  <M extends PeerMessage> void onMessage(Class<M> type, PeerMessageHandler<M> handler) {
    messageHandlers.put(type, (from, m) -> handler.handle(from, type.cast(m)));
  }

  <M extends PeerMessage> void onRequest(Class<M> type, PeerRequestHandler<M> handler) {
    requestHandlers.put(type, (from, m) -> handler.handle(from, type.cast(m)));
  }

  /** Serializes a message into a frame. */
  PeerFrame toFrame(PeerFrame.Kind kind, long id, PeerMessage message) {
    return new PeerFrame(kind, id, registry.typeOf(message).name(), codec.encode(message));
  }

  /** Deserializes the message in a frame; empty if its type is not registered. */
  Optional<PeerMessage> readMessage(PeerFrame frame) {
    Optional<PeerMessageType<?>> type = registry.findByName(frame.name());
    if (type.isEmpty()) {
      peerMetrics.countEvent("unknown-type");
      return Optional.empty();
    }
    return Optional.of(codec.decode(frame.body(), type.get().messageClass()));
  }

  void dispatchMessage(PeerIdentity from, PeerFrame frame) {
    readMessage(frame)
        .ifPresent(
            m -> {
              PeerMessageHandler<PeerMessage> handler = messageHandlers.get(m.getClass());
              if (handler != null) {
                run(() -> handler.handle(from, m));
              }
            });
  }

  void dispatchRequest(PeerIdentity from, PeerFrame frame, Consumer<PeerFrame> reply) {
    PeerFrame refusal = PeerFrame.refusal(frame.id());
    Optional<PeerMessage> request = readMessage(frame);
    PeerRequestHandler<PeerMessage> handler =
        request.map(m -> requestHandlers.get(m.getClass())).orElse(null);
    if (handler == null) {
      reply.accept(refusal);
      return;
    }
    run(
        () -> {
          CompletionStage<? extends PeerMessage> answer = handler.handle(from, request.get());
          var unused =
              answer.whenComplete(
                  (m, e) -> reply.accept(m == null ? refusal : answerFrame(frame, m)));
        });
  }

  private PeerFrame answerFrame(PeerFrame request, PeerMessage answer) {
    return toFrame(PeerFrame.Kind.ANSWER, request.id(), answer);
  }

  private void run(Runnable task) {
    try {
      executor.execute(() -> runAndLogFailure(task));
    } catch (RejectedExecutionException e) {
      peerMetrics.countEvent("rejected");
    }
  }

  private void runAndLogFailure(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      peerMetrics.countEvent("handler-failed");
      logger.atWarning().withCause(e).log("handler of a peer message threw an exception");
    }
  }
}
