package org.guavagw.config;

/** Whether operators let a data centre take new work. */
public enum DataCentreState {
  IN,
  OUT
}
