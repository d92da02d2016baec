package org.guavagw.gateway.internal.framing;

import io.vavr.control.Either;

/** Decides by its head whether a message is read, and where it ends. */
interface HeadRules {
  /** Blank lines that are skipped before the start line. */
  int maxBlankLines();

  Either<FramingFault, BodyEnd> read(MessageHead head);
}
