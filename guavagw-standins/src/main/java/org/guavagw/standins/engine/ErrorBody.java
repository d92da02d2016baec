package org.guavagw.standins.engine;

/** An error in the form of the chat completion API. Immutable. */
record ErrorBody(Detail error) {
  static ErrorBody of(String code) {
    return new ErrorBody(new Detail(code, "engine_error", code));
  }

  /** Message, type and code of the error. */
  record Detail(String message, String type, String code) {}
}
