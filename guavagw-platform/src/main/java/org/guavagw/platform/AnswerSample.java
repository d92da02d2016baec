package org.guavagw.platform;

import org.guavagw.config.VersionRef;

/** An answer to be rated. Immutable. */
public record AnswerSample(
    String requestId, String taskClass, VersionRef version, String question, String answer) {}
