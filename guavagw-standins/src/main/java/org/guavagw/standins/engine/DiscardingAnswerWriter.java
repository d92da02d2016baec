package org.guavagw.standins.engine;

/** Discards the answer. Stateless. */
enum DiscardingAnswerWriter implements AnswerWriter {
  INSTANCE;

  @Override
  public void token(int index, String text) {
    // Nothing is written.
  }

  @Override
  public void finish(Usage usage) {
    // Nothing is written.
  }

  @Override
  public void close() {
    // Nothing is written.
  }

  @Override
  public void refuse(EngineRefusal refusal) {
    // Nothing is written.
  }
}
