package org.guavagw.config;

/** A data centre, its region and whether it takes new requests. Immutable. */
public record DataCentreConfig(String id, String region, DataCentreState state) {}
