package org.guavagw.internal.rollout;

import org.guavagw.config.VersionRef;

/** A version in service that has become worse than it was. Immutable. */
public record ServingFinding(VersionRef version, Finding finding) {}
