package org.guavagw.config;

/** Whether a data centre takes new requests, as operators set it. */
public enum DataCentreState {
  IN,
  OUT
}
