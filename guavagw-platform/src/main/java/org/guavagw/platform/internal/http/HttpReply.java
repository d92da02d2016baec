package org.guavagw.platform.internal.http;

/** A complete reply of the platform. The array must not be modified. */
record HttpReply(int status, byte[] body) {
  private static final int NOT_FOUND = 404;

  boolean successful() {
    return status >= 200 && status < 300;
  }

  boolean notFound() {
    return status == NOT_FOUND;
  }

  boolean clientError() {
    return status >= 400 && status < 500;
  }
}
