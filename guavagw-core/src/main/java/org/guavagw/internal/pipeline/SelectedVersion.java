package org.guavagw.internal.pipeline;

import org.guavagw.config.VersionRef;

/**
 * The version that a request, or one of its cascade steps, runs on. Immutable.
 *
 * @param sessionMoved whether the session moved to this version because its earlier one was
 *     withdrawn
 */
public record SelectedVersion(VersionRef ref, boolean sessionMoved) {}
