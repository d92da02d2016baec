package org.guavagw.internal.chat;

import org.guavagw.config.VersionRef;

/**
 * The version, backend server and revision that an answer comes from. Immutable.
 *
 * @param sessionMoved whether the session moved to this version because its earlier one was
 *     withdrawn
 */
public record AnswerMetadata(
    String requestId,
    VersionRef version,
    String backendServer,
    long revision,
    boolean sessionMoved) {}
