package org.guavagw.internal.quality;

import org.guavagw.config.VersionRef;

/** Names a stream of ratings. Immutable. */
public record QualityKey(String team, String taskClass, VersionRef version) {}
