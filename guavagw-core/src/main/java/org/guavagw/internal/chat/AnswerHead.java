package org.guavagw.internal.chat;

import org.guavagw.config.VersionRef;

/**
 * What an answer's headers say of where it came from. Immutable.
 *
 * @param sessionMoved whether the session's earlier version was withdrawn
 */
public record AnswerHead(
    String requestId,
    VersionRef version,
    String backendServer,
    long revision,
    boolean sessionMoved) {}
