package org.guavagw.internal.pipeline;

import org.guavagw.config.VersionRef;

/**
 * The version that a step of a request runs on. Immutable.
 *
 * @param sessionMoved whether the session's earlier version was withdrawn
 */
public record VersionPick(VersionRef ref, boolean sessionMoved) {}
