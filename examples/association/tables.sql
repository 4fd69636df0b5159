-- The tables that the routes of plans.jsonc use, in each of the three services.
create table listings (
    organisation text not null, listing text not null, title text not null, price_cents bigint not null,
    primary key (organisation, listing)
);
create table holds (listing text primary key, organisation text not null, buyer text not null);
create table price_history (kind text not null, sold_on text not null, price_cents bigint not null);
