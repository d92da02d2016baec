package org.guavagw.standins.engine;

import io.netty.channel.Channel;
import org.guavagw.standins.http.Connections;

/**
 * Writes an answer only while its connection is open and not silenced. Confined to one event loop.
 */
final class ConnectionCheckingAnswerWriter implements AnswerWriter {
  private final AnswerWriter delegate;
  private final Channel channel;
  private final Connections connections;

  ConnectionCheckingAnswerWriter(AnswerWriter delegate, Channel channel, Connections connections) {
    this.delegate = delegate;
    this.channel = channel;
    this.connections = connections;
  }

  @Override
  public void open() {
    current().open();
  }

  @Override
  public void keepAlive() {
    current().keepAlive();
  }

  @Override
  public void token(int index, String text) {
    current().token(index, text);
  }

  @Override
  public void flush() {
    current().flush();
  }

  @Override
  public void finish(Usage usage) {
    current().finish(usage);
  }

  @Override
  public void close() {
    current().close();
  }

  @Override
  public void refuse(EngineRefusal refusal) {
    current().refuse(refusal);
  }

  private AnswerWriter current() {
    boolean writable = channel.isOpen() && !connections.isSilent(channel);
    return writable ? delegate : DiscardingAnswerWriter.INSTANCE;
  }
}
