package org.guavagw.standins.engine;

/** An error as the chat completion API shows it. Immutable. */
record ErrorBody(Detail error) {
  static ErrorBody of(String code) {
    return new ErrorBody(new Detail(code, "engine_error", code));
  }

  /** What went wrong. */
  record Detail(String message, String type, String code) {}
}
