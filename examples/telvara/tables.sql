-- The tables that the routes of plans.jsonc use, in each of the three services.
create table routing_rules (
    organisation text not null, number text not null, target text not null, primary key (organisation, number)
);
create table extensions (
    organisation text not null, extension text not null, desk_phone text not null,
    primary key (organisation, extension)
);
create table call_records (
    organisation text not null, call_id text not null, duration_s bigint not null
);
create table emergency_numbers (region text primary key, number text not null);
