package org.guavagw.platform;

/** The platform services that an entry uses. Immutable. */
public record Platform(
    TableService table,
    ObjectStore objects,
    VmList vms,
    RatingService ratings,
    WeightStore weights) {}
