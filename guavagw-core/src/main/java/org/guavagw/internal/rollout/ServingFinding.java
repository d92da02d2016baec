package org.guavagw.internal.rollout;

import org.guavagw.config.VersionRef;

/** Finding that a serving version has become worse than it was. Immutable. */
public record ServingFinding(VersionRef version, Finding finding) {}
