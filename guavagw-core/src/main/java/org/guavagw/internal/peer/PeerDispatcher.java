package org.guavagw.internal.peer;

import com.google.common.flogger.FluentLogger;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;

/** Hands received messages to their handlers on the executor. Thread-safe. */
final class PeerDispatcher {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final PeerMessageRegistry registry;
  private final PeerCodec codec;
  private final PeerTraffic traffic;
  private final Executor executor;
  private final Map<Class<?>, PeerMessageHandler<PeerMessage>> messageHandlers =
      new ConcurrentHashMap<>();
  private final Map<Class<?>, PeerRequestHandler<PeerMessage>> requestHandlers =
      new ConcurrentHashMap<>();

  PeerDispatcher(
      PeerMessageRegistry registry, PeerCodec codec, PeerTraffic traffic, Executor executor) {
    this.registry = registry;
    this.codec = codec;
    this.traffic = traffic;
    this.executor = executor;
  }

  <M extends PeerMessage> void onMessage(Class<M> type, PeerMessageHandler<M> handler) {
    messageHandlers.put(type, (from, m) -> handler.handle(from, type.cast(m)));
  }

  <M extends PeerMessage> void onRequest(Class<M> type, PeerRequestHandler<M> handler) {
    requestHandlers.put(type, (from, m) -> handler.handle(from, type.cast(m)));
  }

  /** Serializes a message into a frame. */
  PeerFrame frame(PeerFrame.Kind kind, long id, PeerMessage message) {
    return new PeerFrame(kind, id, registry.of(message).name(), codec.encode(message));
  }

  /** Reads the message in a frame; empty if this entry does not know its type. */
  Optional<PeerMessage> message(PeerFrame frame) {
    Optional<PeerMessageType<?>> type = registry.named(frame.name());
    if (type.isEmpty()) {
      traffic.event("unknown-type");
      return Optional.empty();
    }
    return Optional.of(codec.decode(frame.body(), type.get().messageClass()));
  }

  void dispatchMessage(PeerIdentity from, PeerFrame frame) {
    message(frame)
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
    Optional<PeerMessage> request = message(frame);
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
    return frame(PeerFrame.Kind.ANSWER, request.id(), answer);
  }

  private void run(Runnable task) {
    try {
      executor.execute(() -> runGuarded(task));
    } catch (RejectedExecutionException e) {
      traffic.event("rejected");
    }
  }

  private void runGuarded(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      traffic.event("handler-failed");
      logger.atWarning().withCause(e).log("handler of a peer message failed");
    }
  }
}
