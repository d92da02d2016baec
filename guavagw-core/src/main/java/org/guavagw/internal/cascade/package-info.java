/**
 * Plans cascades: decides which models are attempted in which order to meet a quality target at low
 * cost.
 */
package org.guavagw.internal.cascade;
