package org.guavagw.internal.quality;

import org.guavagw.config.VersionRef;

/** Key of the ratings of a version for a team and task class. Immutable. */
public record QualityKey(String team, String taskClass, VersionRef version) {}
